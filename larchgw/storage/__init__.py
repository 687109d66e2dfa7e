"""Durable storage of a control process: a record log with snapshots, and small values replaced atomically.

- `files`: the port to the disk (`FilePort`), and its implementation by system calls (`DiskFiles`).
- `log`: the record log (`Log`), in segment files with a snapshot in place of its oldest records.
- `durability`, `cleanup`: which of its records are durable, and what failed calls left to be put right.
- `segments`, `snapshots`: names and codecs of the log's files; the store of the current snapshot.
- `recovery`: what a folder holds after a crash, and which damage is a torn write.
- `cell`, `reserve`: a small value replaced atomically (`Cell`), and disk space set aside for it (`Reserve`).
- `log_inspection`: read-only views of a log's folder for the command line and for a restore.
- `errors`: `StorageError` and its subclasses, each with path, problem and remedy.

Which guarantees hold after which call stands in docs/storage.md.
"""
