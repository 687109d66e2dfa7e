"""The operator's configuration and a process's settings: reading, checking, changing. No I/O but
`settings.load`.
"""
