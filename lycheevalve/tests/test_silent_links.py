"""Links whose peer sends nothing any more, as after a loss of its power."""

import trio
import trio.testing

from lycheevalve.daemon.links import make_codec_factory, serve_connection

# The opening side of a link sends a message or requests a greeting several times a second.
SILENT_SECONDS = 60.0


class TestSilence:
    """An accepted link without any message."""

    # Each loss of power of a peer left a descriptor in use for good, until none was free.
    def test_silent_link_is_closed(self):
        make_codec = make_codec_factory(b"k" * 16, "10.0.0.1:1", 1)

        async def main():
            _, accepted = trio.testing.memory_stream_pair()
            with trio.move_on_after(SILENT_SECONDS) as scope:
                try:
                    await serve_connection(accepted, make_codec(), None)
                except Exception:
                    return False
            return scope.cancelled_caught

        clock = trio.testing.MockClock(autojump_threshold=0)
        assert not trio.run(main, clock=clock), "the link is still open"
