"""The program under restrictions that refuse forks, other programs, Unix sockets and IPv6."""

import signal
import socket
from pathlib import Path

from tests.support.stand_ins import Discovery, Program, Runner, until

REFUSE = """
import errno, sys
def refuse(event, args):
    other = event in ("os.fork", "os.forkpty", "os.posix_spawn", "os.exec", "os.system", "subprocess.Popen")
    unix = event in ("socket.bind", "socket.connect") and not isinstance(args[1], tuple)
    newer = event == "socket.__new__" and args[1] == 10
    if other or unix or newer:
        print(f"event=refused what={event}", file=sys.stderr, flush=True)
        raise OSError(errno.ENOSYS, "refused")
sys.addaudithook(refuse)
"""


def serves(program: Program, discovery: Discovery) -> None:
    program.ready()
    assert program.job("a1", b"x")[0] == 200
    assert "reload.done" in program.reload(discovery=discovery.address)
    assert program.job("a2", b"x")[0] == 200
    program.process.send_signal(signal.SIGUSR1)
    until(lambda: program.logged("event=counters"), "the counters")
    program.stop()


def test_no_refused_call_is_made_from_start_to_end(tmp_path: Path) -> None:
    runner, discovery = Runner("box"), Discovery()
    discovery.tell(runner.name, addr=runner.address)
    program = Program(tmp_path, discovery.address, before=REFUSE)
    try:
        serves(program, discovery)
        assert not program.logged("event=refused")
    finally:
        program.process.kill()
        runner.close()
        discovery.close()


def test_where_unix_sockets_are_refused_it_serves_and_says_that_no_upgrade_will_find_it(
    tmp_path: Path,
) -> None:
    runner, discovery = Runner("box"), Discovery()
    discovery.tell(runner.name, addr=runner.address)
    with socket.create_server(("127.0.0.1", 0)) as accept:
        program = Program(tmp_path, discovery.address, accept=accept, before=REFUSE)
        try:
            serves(program, discovery)
            assert program.logged("event=refused what=socket.bind")
            assert program.logged("event=upgrade.unfound")
        finally:
            program.process.kill()
            runner.close()
            discovery.close()
