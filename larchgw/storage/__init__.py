"""Durable storage of a control process: a log of records with snapshots, and small atomic values.

- `files`: the port to the disk (`FilePort`), and its implementation by system calls (`DiskFiles`).
- `log`: the log of records (`Log`), in segment files with a snapshot in place of its oldest records.
- `durability`, `cleanup`: which of its records are durable, and the cleanup after failed calls.
- `segments`, `snapshots`: names and codecs of the log's files; the store of the current snapshot.
- `recovery`: reads a folder after a crash, and tells torn writes from damage.
- `cell`, `reserve`: a small value replaced atomically (`Cell`), and disk space set aside for it (`Reserve`).
- `log_inspection`: read-only views of a log's folder for the command line and for a restore.
- `errors`: `StorageError` and its subclasses, each with path, problem and remedy.

docs/storage.md lists the guarantees after each call.
"""
