import hypothesis
from hypothesis import strategies as st
from returns import result

from lagooncrank import questionnaire
from lagooncrank.questionnaire.tests import checks

Answers = questionnaire.Answers

names = st.from_regex(r"[a-z][a-z0-9.-]{0,8}", fullmatch=True)
digests = st.integers(1_000, 16**64 - 1).map(lambda n: f"{n:064x}")


@st.composite
def answers_strategy(draw: st.DrawFn) -> Answers:
    """Draws answers; many, but not all, allow a configuration."""
    sites = [f"site-{index}" for index in range(draw(st.integers(2, 5)))]
    instances = tuple(
        questionnaire.EntryInstanceAnswers(
            name=f"e{index}",
            ip=f"10.0.0.{index + 1}",
            failure_domain=sites[index % len(sites)],
            data_folder=draw(st.sampled_from(("/data",) * 9 + ("",))),
        )
        for index in range(draw(st.integers(3, 9)))
    )
    domains = tuple(
        questionnaire.FabricDomainAnswers(
            f"f{index}", sites[index % len(sites)], draw(st.integers(1, 40))
        )
        for index in range(draw(st.integers(1, 6)))
    )
    replicas = draw(st.integers(1, 6))
    model = questionnaire.ModelAnswers(
        name=draw(names),
        version=draw(st.text(min_size=1, max_size=8)),
        replicas=replicas,
        replicas_floor=draw(st.integers(0, replicas)),
        instances_per_replica=draw(st.integers(1, 6)),
        tokens_per_s_per_replica=draw(st.integers(500, 5_000)),
        concurrency_per_replica=draw(st.integers(1, 40)),
        fastest_first_token_s=draw(st.floats(0.01, 1.5)),
        weight_gib_per_instance=draw(st.floats(0, 500)),
    )
    accounts = tuple(
        questionnaire.AccountAnswers(
            name=f"a{index}",
            size=draw(st.sampled_from(questionnaire.AccountSize)),
            key_sha256s=(f"{index:064x}",),
            first_token_wait_s=draw(st.floats(1.0, 60.0)),
            traffic=(
                questionnaire.TrafficAnswers(
                    model.name,
                    draw(st.floats(0.01, 1.0)),
                    draw(st.integers(1, 1_000)),
                ),
            ),
        )
        for index in range(draw(st.integers(0, 8)))
    )
    return Answers(
        deployment=draw(names),
        entry_instances=instances,
        fabric_domains=domains,
        models=(model,),
        services=(
            questionnaire.ServiceAnswers(
                "service_0",
                draw(st.booleans()),
                longest_answer_s=draw(st.floats(0.001, 1_000)),
                remembered_h=draw(st.floats(0.001, 1_000)),
            ),
        ),
        accounts=accounts,
        tolerance=questionnaire.ToleranceAnswers(
            idle_accelerator_minutes=draw(st.floats(0.001, 1e6)),
            further_losses=draw(st.integers(0, 3)),
            survive=draw(st.sampled_from(questionnaire.Survival)),
            usual_pause_s=draw(st.floats(0, 100)),
            cut_off_s=draw(st.floats(0.1, 100)),
        ),
        weight_store=questionnaire.WeightStoreAnswers(
            draw(st.floats(0.001, 1e5)), draw(st.integers(1, 100))
        ),
        operator_key_sha256s=tuple(
            draw(st.lists(digests, max_size=2, unique=True))
        ),
    )


@hypothesis.given(answers_strategy())
def test_generated_files_are_accepted_or_problems_reported(
    answers: Answers,
) -> None:
    generated = questionnaire.generate(answers)
    if isinstance(generated, result.Success):
        checks.check_accepted(generated.unwrap())
        assert questionnaire.generate(answers) == generated
    else:
        problems = generated.failure()
        assert problems
        assert all(c.fields and c.reason and c.fix for c in problems)


def test_drawn_answers_cover_both_outcomes() -> None:
    """Ensures that the property test above cannot pass vacuously."""
    outcomes = []

    @hypothesis.settings(max_examples=100)
    @hypothesis.given(answers_strategy())
    def collect(answers: Answers) -> None:
        generated = questionnaire.generate(answers)
        outcomes.append(isinstance(generated, result.Success))

    collect()
    assert len(outcomes) / 5 < sum(outcomes) < len(outcomes)
