"""The calls other packages make of this one. docs/storage.md says what is promised after each.

    files.FilePort (Protocol)           the calls on files that the rest is built on
    files.DiskFiles                     the real one; one that loses and tears is in
                                        tests/support/faulty_files.py

    log.Log.open(port, folder, segment_bytes=..., limit_bytes=...) -> Log
        Recovers. Raises CorruptLog (file, offset, remedy) where a synced record is damaged; cuts a torn tail
        that was never synced.
        .append(record: bytes) -> int   its index, from 1; not yet durable; never syncs by itself
        .sync()                         records appended before the call survive a loss of power; may run in
                                        another thread while the owner of the log appends and reads
        .truncate_after(index)          drops the records above; durable once it returns
        .read(first, last)              iterator of (index, bytes); raises RecordsGone below first_index
        .first_index, .last_index, .durable_index, .size_bytes
        .compact(up_to, snapshot)       a snapshot stands for records <= up_to, durable before segments go
        .snapshot()                     (index, bytes) or None
        .install(index, snapshot)       replaces everything by a snapshot from another replica, as a whole

    cell.Cell(port, folder, name, reserve=None)     one small value, replaced atomically
        .load() -> bytes | None
        .store(bytes)                   durable once it returns
    reserve.Reserve(port, folder)       room that a cell gives back when it finds the disk full
        .refill() -> bool, .release() -> bool, .is_kept() -> bool

    inspect.verify(folder) -> Verification          `str()` of it is a line for the command line; `.ok`
    inspect.dump(folder) -> iterator of lines
    inspect.contents(folder), .snapshot_file(path) -> Contents      all of them only read

Errors (errors.py), each with path, problem and remedy: DiskFull, DiskFailed, RecordsGone, CorruptLog,
CorruptCell. DiskFull and DiskFailed promise nothing and leave the log and the cell usable.
"""
