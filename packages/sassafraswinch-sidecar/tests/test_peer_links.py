"""When peers are dialled, on a paused clock."""

import asyncio
from types import SimpleNamespace

import pytest

from sassafraswinch_sidecar.peer_links import DIAL_TIMEOUT_S, REDIAL_S, PeerLinks

pytestmark = pytest.mark.looptime

PEER = "10.0.0.2"


class Dialler:
    """Stands for the network: connections hang, as those to a host without power."""

    def __init__(self, monkeypatch):
        self.dialled_at_s = []
        self.loop = asyncio.get_running_loop()
        monkeypatch.setattr(self.loop, "create_connection", self.create_connection)
        self.answers = False

    async def create_connection(self, make_protocol, ip, port):
        self.dialled_at_s.append(self.loop.time())
        if not self.answers:
            await asyncio.Event().wait()


class Link:
    """A link to the peer, as far as its owner looks at it."""

    def __init__(self, incarnation=9):
        self.peer_ip = PEER
        self.incarnation = incarnation
        self.fault = ""

    def abort(self, fault):
        self.fault = fault

    def close(self):
        pass


def new_links():
    listener = SimpleNamespace(link_lost=lambda ip: None)
    return PeerLinks(
        own_ip="10.0.0.1", port=1, dial_port=1, incarnation=7, listener=listener
    )


async def test_peer_that_greets_is_dialled_at_once(monkeypatch):
    """All hosts lose power. The first one that is up dials the others before they are:
    the packets are lost, and without a new attempt the links would come up a second
    later than they could.
    """
    network = Dialler(monkeypatch)
    links = new_links()
    links.keep([PEER])
    await asyncio.sleep(0.2)
    links._accepted_greeted(Link())
    await asyncio.sleep(0.01)
    assert len(network.dialled_at_s) == 2
    assert network.dialled_at_s[1] - network.dialled_at_s[0] == pytest.approx(0.2)
    await links.close()


async def test_connection_that_awaits_its_greeting_is_left_alone(monkeypatch):
    """Both dial each other at once. A second connection would replace the first, and
    the requests on it would count as lost.
    """
    network = Dialler(monkeypatch)
    network.answers = True
    links = new_links()
    links.keep([PEER])
    await asyncio.sleep(0.01)
    links._accepted_greeted(Link())
    await asyncio.sleep(0.1)
    assert len(network.dialled_at_s) == 1
    await links.close()


async def test_link_to_a_former_incarnation_is_given_up(monkeypatch):
    """A host loses power and is back within the second after which silence is noticed.
    Its greeting tells that nobody answers on the link to the process that was there.
    """
    network = Dialler(monkeypatch)
    links = new_links()
    links.keep([PEER])
    await asyncio.sleep(0.01)
    former = links.peers[PEER].link = Link(incarnation=8)
    links._accepted_greeted(Link(incarnation=8))
    assert former.fault == ""
    links._accepted_greeted(Link(incarnation=9))
    await asyncio.sleep(0.01)
    assert former.fault == "restarted"
    assert list(links.linked()) == []
    assert len(network.dialled_at_s) == 2
    await links.close()


async def test_peer_that_stays_away_is_dialled_now_and_then(monkeypatch):
    network = Dialler(monkeypatch)
    links = new_links()
    links.keep([PEER])
    await asyncio.sleep(10.5 * (DIAL_TIMEOUT_S + REDIAL_S))
    assert len(network.dialled_at_s) == 11
    await links.close()
