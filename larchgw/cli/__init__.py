"""The command line interface; not loaded when the program runs without arguments."""
