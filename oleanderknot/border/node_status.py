"""Status that a node reports to operators."""

import pydantic

from oleanderknot import model


class StatusModel(pydantic.BaseModel):
    """Base of status models, which ignore unknown fields of newer nodes."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class MemberStatus(StatusModel):
    """Member as seen by the reporting node; see ``model.Member``."""

    instance: str
    state: str
    data_centre: str
    host: str
    operator_port: int


class PolicyStatus(StatusModel):
    """Policy versions in force at a node; see ``model.NodePolicy``."""

    complete: int
    scopes: dict[str, int]


class NodeStatus(StatusModel):
    """Fields of a node's status that the ticket commands use."""

    instance: str
    data_centre: str
    members: tuple[MemberStatus, ...]
    policy: PolicyStatus

    def build_policy(self) -> model.NodePolicy:
        """Convert the status to the policy data class."""
        return model.NodePolicy(
            instance=self.instance,
            data_centre=self.data_centre,
            complete=self.policy.complete,
            scopes=self.policy.scopes,
        )
