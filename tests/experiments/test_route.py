"""The experiment on the selection: what it relies on, and what the selection must not lose to a coin."""

from __future__ import annotations

from larchgw.experiments.route import Play, play
from larchgw.experiments.route_draws import draw


def test_every_model_of_a_draw_that_is_asked_for_has_a_holder() -> None:
    for seed in range(30):
        deployment = draw(seed, 0.5)
        for model in (*deployment.busy, *deployment.rare):
            assert any(record.holds(model) for record in deployment.records), (seed, model)


def test_the_same_seed_plays_the_same() -> None:
    run = Play("ours", 0.5, 3, 6.0)
    assert play(run) == play(run)


def test_the_selection_serves_no_less_in_time_and_keeps_more_than_a_random_holder() -> None:
    ours, coin = play(Play("ours", 0.8, 2, 12.0)), play(Play("random", 0.8, 2, 12.0))
    assert ours.in_time >= coin.in_time
    assert ours.kept > coin.kept
