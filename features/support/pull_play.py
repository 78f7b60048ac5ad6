"""Plays calls that wait at their nodes until an upstream asks for work."""

import functools

from features.support import load_play
from features.support import played_call
from features.support import played_upstream

# Upstreams that are told of a call. The first one with a free slot gets it.
OFFERS = 2


class PullPlay(load_play.LoadPlay):
    """Play in which nodes offer calls, and upstreams with a free slot ask.

    Attributes:
        offers: Offers that wait at each upstream, by its name.
    """

    def __init__(self, **arguments) -> None:
        super().__init__(choose=lambda play, call: 0, **arguments)
        self.offers: dict[str, list[played_call.PlayedCall]] = {
            item.name: [] for item in self.upstreams
        }

    def place(self, call: played_call.PlayedCall) -> None:
        """Offer a call to some upstreams."""
        for number in self.rng.sample(range(len(self.upstreams)), OFFERS):
            call.messages += 1
            self.after(
                self.find_hop_s(call.node, number), self.offer, call, number
            )

    def offer(self, call: played_call.PlayedCall, number: int) -> None:
        """Note an offer at an upstream."""
        upstream = self.upstreams[number]
        self.offers[upstream.name].append(call)
        self.use_slot(upstream)

    def use_slot(self, upstream: played_upstream.PlayedUpstream) -> None:
        """Ask for the call of the oldest offer while a slot is free."""
        offers = self.offers[upstream.name]
        while offers and upstream.running < upstream.slots:
            call = offers.pop(0)
            number = self.upstreams.index(upstream)
            # The slot is kept until the node has replied.
            upstream.running += 1
            call.messages += 1
            self.after(
                self.find_hop_s(call.node, number), self.reply, call, number
            )

    def reply(self, call: played_call.PlayedCall, number: int) -> None:
        """Send a call to the first upstream that asks for it."""
        hop_s = self.find_hop_s(call.node, number)
        call.messages += 1
        if call.upstream < 0:
            call.upstream = number
            call.sent_at = self.now
            self.find_load(call.node, number).outstanding += 1
            self.after(hop_s, self.begin, call)
        else:
            self.after(hop_s, functools.partial(self.free_slot, number))

    def begin(self, call: played_call.PlayedCall) -> None:
        """Run a call in the slot that was kept for it."""
        self.upstreams[call.upstream].running -= 1
        # It has waited at its node.
        call.arrived_at = call.started_at
        self.start(call)

    def free_slot(self, number: int) -> None:
        """Free the slot that was kept for a call that another one got."""
        self.upstreams[number].running -= 1
        self.use_slot(self.upstreams[number])
