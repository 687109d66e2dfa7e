"""The command line; nothing here is loaded where the program runs without arguments."""
