"""What the store promises, and the narrow port to the disk that tests replace.

    files.FilePort (Protocol): open/append/pread/truncate/rename/remove/list/sync_file/sync_folder/size.
    `files.DiskFiles`
    is the real one; `tests/faulty_files.py` has one that tears, drops and reorders what was not synced.

    log.Log.open(port, folder) -> Log           recovers; raises CorruptLog (naming file, offset, remedy)
        where a synced
                                                record is damaged, and cuts a torn tail that was never synced
        .append(record: bytes) -> int           its index, from 1; not yet durable
        .sync()                                 all appended records survive a loss of power once this returns
        .truncate_after(index)                  drops records above; durable once this returns
        .read(first, last) -> iterator[(index, bytes)]
        .first_index, .last_index
        .compact(up_to, snapshot: bytes)        a snapshot that stands for records <= up_to, durable before
            segments go
        .snapshot() -> (index, bytes) | None
        .install(index, snapshot)               replaces everything by a snapshot from another replica
    cell.Cell(port, folder, name)               one small value, replaced atomically: .load() -> bytes |
        None, .store(bytes)

A full disk: `DiskFull` is raised by append, sync or store before anything is promised; the log stays
usable, and a
reserve file is given back so that a step down can still be recorded. Records carry length, index, term and
CRC.
"""
