"""The actors of one controller, which carry the decisions out."""
