from lagooncrank import model
from lagooncrank import results
from lagooncrank.core import admission

SERVICE = model.ServiceName("drafts")


def _offer(name: str, deadline_ms: int = 1_300) -> admission.Offer:
    return admission.Offer(
        model.RequestId(name),
        model.ClientAccountId("a"),
        SERVICE,
        prompt_tokens=10,
        max_output_tokens=10,
        first_token_deadline_ms=deadline_ms,
    )


def _policy(concurrency: int) -> admission.AdmissionPolicy:
    config = admission.AdmissionConfig(model.NodeId("e1"), incarnation=1)
    policy = admission.ADMISSION_POLICIES.get("first_come").from_config(config)
    policy.set_capacity(admission.Capacity(SERVICE, 1, concurrency, 100), 0)
    return policy


def test_first_come_starts_in_order_of_arrival() -> None:
    policy = _policy(concurrency=1)
    first = policy.offer(_offer("r1"), 0)
    assert list(first) == [admission.Start(model.RequestId("r1"), 0)]
    assert list(policy.offer(_offer("r2"), 1)) == []
    assert list(policy.offer(_offer("r3"), 2)) == []
    after = policy.ended(model.RequestId("r1"), 3)
    assert list(after) == [admission.Start(model.RequestId("r2"), 0)]


def test_first_come_refuses_past_the_deadline_once() -> None:
    policy = _policy(concurrency=0)
    policy.offer(_offer("r1", deadline_ms=50), 0)
    assert list(policy.tick(49)) == []
    [effect] = policy.tick(50)
    assert isinstance(effect, admission.Refuse)
    assert effect.refusal.code is results.ResultCode.QUEUE_TIMEOUT
    assert list(policy.tick(51)) == []
