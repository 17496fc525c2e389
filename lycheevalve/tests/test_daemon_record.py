"""An instance of lycheevalved whose run can't be recorded for an unexpected reason."""

import pytest
import trio

from bench.deployment import Deployment
from lycheevalve.config.instance import load_instance_settings
from lycheevalve.daemon import ends
from lycheevalve.daemon.main import run_process
from lycheevalve.tests.test_processes import find_ports


class TestRunRecord:
    """The task that records that the process has started."""

    # An error other than OSError ended the process.
    def test_error_of_the_run_record_does_not_end_the_instance(self, tmp_path, monkeypatch):
        deployment = Deployment("lagos", tmp_path, find_ports(), instances=1)
        deployment.write_files()
        path = str(tmp_path / "a1.toml")
        settings, _ = load_instance_settings(path)
        attempts = []

        def fail(*_):
            attempts.append(None)
            raise RuntimeError("can't start new thread")

        run = ends.Run(folder=tmp_path)
        monkeypatch.setattr(ends, "current_run", run)
        monkeypatch.setattr(ends.Run, "record_state", fail)

        async def main():
            with trio.move_on_after(2) as scope:
                await run_process(settings, b"k" * 16, path)
            return scope.cancelled_caught

        try:
            assert trio.run(main)
        except ExceptionGroup as group:
            pytest.fail(f"the instance ended: {group.exceptions}")
        assert len(attempts) > 1
