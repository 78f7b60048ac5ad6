"""Listening sockets of a node."""

import dataclasses

from oleanderknot import border
from oleanderknot import model
from oleanderknot.tasks import http_listener
from oleanderknot.tasks import peer_listener


@dataclasses.dataclass(slots=True, kw_only=True)
class Listeners:
    """The listeners of a node and the port of the egress listener.

    Attributes:
        peers: Accepts connections of other nodes.
        callers: Accepts requests of callers.
        egress: Accepts the outgoing calls of the local upstream.
        operators: Accepts requests of operators.
        egress_port: TCP port of ``egress``; 0 until it is bound.
    """

    peers: peer_listener.PeerListener
    callers: http_listener.HttpListener
    egress: http_listener.HttpListener
    operators: http_listener.HttpListener
    egress_port: int = 0

    async def bind(
        self, identity: model.NodeIdentity, listen: border.ListenSettings
    ) -> model.Member:
        """Bind all addresses; connections are refused until ``start``.

        Args:
            identity: Identity of the node.
            listen: Addresses to bind and addresses to advertise.

        Returns:
            The membership record of the node with its advertised addresses.

        Raises:
            OSError: An address cannot be bound.
        """
        host = str(listen.host)
        self.egress_port = await self.egress.bind(
            str(listen.egress_host), listen.egress_port
        )
        peer_port = await self.peers.bind(host, listen.peer_port)
        return model.Member(
            instance=identity.instance,
            incarnation=identity.incarnation,
            version=1,
            state=model.MemberState.JOINING,
            data_centre=identity.data_centre,
            host=str(listen.advertised_host or host),
            peer_port=listen.advertised_peer_port or peer_port,
            caller_port=await self.callers.bind(host, listen.caller_port),
            operator_port=await self.operators.bind(
                str(listen.operator_host), listen.operator_port
            ),
        )

    async def start(self) -> None:
        """Accept connections, on the operators' listener last."""
        for listener in (
            self.peers,
            self.egress,
            self.callers,
            self.operators,
        ):
            await listener.start()

    async def close(self) -> None:
        """Close the HTTP listeners and their connections."""
        for listener in (self.callers, self.egress, self.operators):
            await listener.close()
