import dataclasses

import pytest

from lagooncrank import model
from lagooncrank.core.placement.tests import _simulation


@pytest.mark.parametrize(
    ("stranded_accelerator_weight", "replicas"),
    [
        pytest.param(0.02, 2, id="accelerators_are_expensive"),
        pytest.param(0.0, 1, id="only_downtime_counts"),
    ],
)
def test_spares_are_held_while_they_cost_less_than_a_replica(
    stranded_accelerator_weight: float, replicas: int
) -> None:
    cluster = _simulation.SimulatedCluster("weighted", (True,), domains=(6,))
    service = dataclasses.replace(
        _simulation.DRAFTS, replicas=1, max_replicas=2
    )
    rules = dataclasses.replace(
        _simulation.RULES,
        stranded_accelerator_weight=stranded_accelerator_weight,
    )
    cluster.declarations = model.Declarations(
        model_services=(service,),
        placement=rules,
        weight_store=model.WeightStoreRules(bytes_per_s=2_000),
    )
    for _ in range(60):
        cluster.step()
    assert cluster.serving_count(service) == replicas
