"""Links between processes under test: held, cut, delayed, lossy or reset, as a test orders it."""
