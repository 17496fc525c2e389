"""Real processes: kills, pauses, lost data folders, concurrent changes, bad input."""

import json
import shutil
import signal
import socket

import pytest

from bench.deployment import Deployment
from lycheevalve.coordination.run_record import STOPPED, read_run_record
from lycheevalve.tests.fakes.role_processes import WAIT_TIMEOUT_SECONDS, wait_for
from lycheevalve.utils.addresses import parse_address

PORTS_PER_SITE = 500
# Below the ports that the system assigns; enough for several test runs at once.
FIRST_PORTS = iter(range(12_000, 32_500, PORTS_PER_SITE))
# Each holds the last port of a range, so that concurrent test runs use different ones.
RESERVATIONS = []


def find_ports():
    """Return the first port of an unused range."""
    for first in FIRST_PORTS:
        try:
            last = ("127.0.0.1", first + PORTS_PER_SITE - 1)
            RESERVATIONS.append(socket.create_server(last))
            for offset in range(1, 5):
                with socket.create_server(("127.0.0.1", first + 100 + offset)):
                    pass
        except OSError:
            continue
        return first
    raise AssertionError("no unused range of ports")


@pytest.fixture
def site(tmp_path):
    """Run four instances, three of them replicas, with a configuration in force."""
    deployment = Deployment("lagos", tmp_path, find_ports(), instances=4)
    deployment.write_files()
    for name in deployment.instance_names():
        deployment.start_instance(name)
    try:
        wait_for(lambda: apply_files(deployment).returncode == 0)
        yield deployment
    finally:
        deployment.stop_all()


def apply_files(site, *options):
    """Apply the site's files and wait until they are in force."""
    files = site.folder / "base.toml", site.folder / "overlay.toml"
    return site.run_command("apply", *files, "--wait", 30, "--json", *options)


def read_status(site):
    """Return the status of the site, or None when no instance answers."""
    done = site.run_command("status", site.folder / "overlay.toml", "--json")
    return json.loads(done.stdout) if done.returncode == 0 else None


def find_role(site, name):
    """Return the role that a replica reports, or an empty string."""
    status = read_status(site)
    roles = {entry["name"]: entry["role"] for entry in status["instances"]} if status else {}
    return roles.get(name, "")


def find_leader(site):
    """Return the name of the leading replica."""
    return wait_for(
        lambda: next((n for n in ["a1", "a2", "a3"] if find_role(site, n) == "leader"), "")
    )


def change_deadline(site, deadline_ms):
    """Change the deadline in the overlay; return the accepted revision."""
    site.write_overlay(deadline_ms)
    done = wait_for(lambda: (d := apply_files(site)).returncode == 0 and d)
    return json.loads(done.stdout)["accepted_revision"]


def is_in_force(site, revision):
    """Return whether all data centres apply `revision`."""
    status = read_status(site)
    return status is not None and set(status["in_force"].values()) == {revision}


class TestReplicas:
    """The replicated log with real processes and files."""

    def test_killed_leader_paused_leader_and_lost_disks(self, site):
        first = find_leader(site)
        site.kill(first)
        revision = change_deadline(site, 7000)
        site.start_instance(first)
        wait_for(lambda: is_in_force(site, revision))

        paused = find_leader(site)
        site.signal(paused, signal.SIGSTOP)
        wait_for(lambda: find_role(site, paused) != "leader")
        site.write_overlay(6000)
        files = site.folder / "base.toml", site.folder / "overlay.toml"
        accepted = wait_for(lambda: (d := site.run_command("apply", *files, "--json")).stdout)
        revision = json.loads(accepted)["accepted_revision"]
        site.signal(paused, signal.SIGCONT)
        wait_for(lambda: is_in_force(site, revision))

        for name in ("a1", "a2"):
            site.kill(name)
            shutil.rmtree(site.folder / f"data-{name}")
            site.start_instance(name)
            wait_for(lambda name=name: find_role(site, name) in ("follower", "leader"))
        wait_for(lambda: is_in_force(site, revision))
        assert change_deadline(site, 5000) == revision + 1

    def test_concurrent_operators_and_a_resend(self, site):
        base = read_status(site)["accepted_revision"]
        site.write_overlay(7100)
        assert apply_files(site, "--revision", base, "--change-id", "one").returncode == 0
        site.write_overlay(7200)
        lost = apply_files(site, "--revision", base, "--change-id", "two")
        assert lost.returncode == 3
        assert "one by" in lost.stderr
        again = apply_files(site, "--revision", base, "--change-id", "one")
        assert json.loads(again.stdout)["accepted_revision"] == base + 1

    def test_missing_quorum_is_reported(self, site):
        for name in ("a1", "a2"):
            site.kill(name)
        done = apply_files(site, "--revision", 1)
        assert done.returncode == 4
        assert "propose" in done.stderr or "connect" in done.stderr


class TestBadInput:
    """Invalid datagrams, frames, settings and keys."""

    def test_process_keeps_running(self, site):
        address = parse_address(site.instance_address("a4"))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            for data in (b"", b"L", b"L\x01\x01\x05" + bytes(60), b"R\x00", bytes(60_000)):
                udp.sendto(data, address)
        for data in (
            b"\xff\xff\xff\xff",
            b"\x00\x00\x00\x10" + bytes(16),
            b"GET / HTTP/1.1\r\n\r\n",
        ):
            with socket.create_connection(address) as tcp:
                tcp.sendall(data)
        assert change_deadline(site, 7300) == 2
        assert site.processes["a4"].poll() is None

    def test_invalid_settings_report_all_errors(self, site):
        path = site.folder / "a4.toml"
        path.write_text(path.read_text().replace("fabric", "fabrik") + "stop_seconds = 0\n")
        site.kill("a4")
        (site.folder / "a4.out").unlink()
        site.start_instance("a4")
        assert site.processes["a4"].wait(WAIT_TIMEOUT_SECONDS) == 2
        output = (site.folder / "a4.out").read_text()
        assert "fabrik" in output and "stop_seconds" in output

    def test_wrong_key_is_refused(self, site):
        (site.folder / "site.key").write_text("another key, not the site's")
        done = site.run_command("status", site.folder / "overlay.toml")
        assert done.returncode == 4


class TestStop:
    """The graceful stop."""

    def test_exits_with_code_zero_and_records_the_end(self, site):
        """Guards against ends that nothing shows once the logs are gone."""
        for name in ("a3", "a4"):
            site.signal(name, signal.SIGTERM)
            assert site.processes[name].wait(WAIT_TIMEOUT_SECONDS) == 0
        states = {e["name"]: e["state"] for e in read_status(site)["instances"]}
        assert states["a4"].startswith("left")
        assert read_run_record(site.folder / "data-a3").state == STOPPED

    def test_an_instance_that_waits_for_its_address_stops(self, site):
        """It handles no events until it has started, so that it could only be killed."""
        site.kill("a4")
        (site.folder / "a4.out").unlink()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
            holder.bind(parse_address(site.instance_address("a4")))
            site.start_instance("a4")
            wait_for(lambda: "address_unavailable" in (site.folder / "a4.out").read_text())
            assert site.processes["a4"].poll() is None
            site.signal("a4", signal.SIGTERM)
            assert site.processes["a4"].wait(WAIT_TIMEOUT_SECONDS) == 0


class TestEvacuation:
    """The commands that evacuate a data centre and take it back."""

    def order(self, site, command, data_centre):
        """Run an order; return the finished command."""
        overlay = site.folder / "overlay.toml"
        return site.run_command(command, overlay, data_centre, "--wait", 30, "--json")

    def test_order_is_in_force_until_it_is_withdrawn(self, site):
        data_centre = read_status(site)["instances"][0]["data_centre"]
        assert json.loads(self.order(site, "evacuate", data_centre).stdout)
        assert wait_for(lambda: read_status(site))["evacuated"] == [data_centre]
        # The leader's log and snapshot keep the order.
        leader = find_leader(site)
        site.kill(leader)
        site.start_instance(leader)
        assert wait_for(lambda: read_status(site))["evacuated"] == [data_centre]
        assert self.order(site, "restore", data_centre).returncode == 0
        assert wait_for(lambda: read_status(site))["evacuated"] == []

    def test_unknown_data_centre_is_refused(self, site):
        done = self.order(site, "evacuate", "ikeja-z")
        assert done.returncode != 0
        assert "unknown data centre 'ikeja-z'" in done.stderr
