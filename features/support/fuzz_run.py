"""Runs a check on generated examples that are the same in each run."""

import collections.abc

import hypothesis
from hypothesis import strategies

EXAMPLES = 40


def run_examples(
    check: collections.abc.Callable[..., None],
    *inputs: strategies.SearchStrategy,
    examples: int = EXAMPLES,
) -> None:
    """Call a check with generated inputs; its seed is derived from its code.

    Raises:
        Exception: What the check raised for the smallest input found.
    """

    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.tuples(*inputs))
    def run(values: tuple[object, ...]) -> None:
        check(*values)

    run()
