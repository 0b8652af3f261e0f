"""An open-loop load for any controllers: how they answer when users do not wait for each other."""
