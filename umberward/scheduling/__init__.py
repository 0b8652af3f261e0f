"""What a holder of machines decides, without I/O: reports and results come in, effects go out."""
