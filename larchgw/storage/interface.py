"""The calls other packages make of this one. docs/storage.md says what is promised after each.

    files.FilePort (Protocol):
    make_folder/list/size/read/write/truncate/rename/remove/close/sync_file/sync_folder `files.DiskFiles` is
    the real one; `tests/faulty_files.py` has one that tears, drops and reorders.

    log.Log.open(port, folder, segment_bytes=..., limit_bytes=...) -> Log
                                        recovers; raises CorruptLog (file, offset, remedy) where a synced
                                        record is damaged, and cuts a torn tail that was never synced
                                        .append(record: bytes) -> int   its index, from 1; not yet durable,
                                        and never syncs by itself .sync()                         records
                                        appended before the call survive a loss of power; may run in another
                                        thread while the owner appends and reads .truncate_after(index)
                                        drops records above; durable once it returns .read(first, last) ->
                                        iterator[(index, bytes)]      raises RecordsGone below first_index
                                        .first_index, .last_index, .durable_index, .size_bytes
                                        .compact(up_to, snapshot)       a snapshot stands for records <=
                                        up_to, durable before segments go .snapshot() -> (index, bytes) |
                                        None .install(index, snapshot)       replaces everything by a
                                        snapshot from another replica, as a whole cell.Cell(port, folder,
                                        name, reserve=None)     one small value, replaced atomically:
                                        .load() -> bytes | None, .store(bytes), durable once it returns
                                        reserve.Reserve(port, folder): .refill() -> bool, .release() -> bool
                                        inspect.verify(folder) -> Verification;  inspect.dump(folder) ->
                                        iterator of lines      both only read

Errors (errors.py, each with path, problem, remedy): DiskFull, DiskFailed, RecordsGone, CorruptLog,
CorruptCell. DiskFull and DiskFailed promise nothing and leave the log and the cell usable; a Reserve given
to a cell is released on DiskFull, so that a step down can still be recorded.
"""
