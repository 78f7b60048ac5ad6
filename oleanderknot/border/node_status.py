"""Status of a node as it tells operators."""

import pydantic

from oleanderknot import model


class StatusModel(pydantic.BaseModel):
    """Base of status models: fields of newer nodes are passed over."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class MemberStatus(StatusModel):
    """A member as a node knows it; see ``model.Member``."""

    instance: str
    state: str
    data_centre: str
    host: str
    operator_port: int


class PolicyStatus(StatusModel):
    """Policy that a node holds; see ``model.NodePolicy``."""

    complete: int
    scopes: dict[str, int]


class NodeStatus(StatusModel):
    """The parts of a node's status that concern tickets."""

    instance: str
    data_centre: str
    members: tuple[MemberStatus, ...]
    policy: PolicyStatus

    def build_policy(self) -> model.NodePolicy:
        """Build the data class of the node's policy."""
        return model.NodePolicy(
            instance=self.instance,
            data_centre=self.data_centre,
            complete=self.policy.complete,
            scopes=self.policy.scopes,
        )
