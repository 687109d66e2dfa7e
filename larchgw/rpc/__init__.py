"""Calls between the processes of the system: thrift messages in length-prefixed frames over TCP."""
