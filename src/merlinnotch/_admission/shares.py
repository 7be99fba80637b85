"""Fair shares of a service's rate for teams."""

import math
import statistics

MAX_ROWS = 4096
"""Rows of demand that are read; 24 teams with 10 ranks make 240."""
MAX_PER_S = 1e6
DEVIATIONS = 2.0
"""Standard deviations of a count above its share that don't count as excess. Otherwise
almost every team would at times be above its share."""


class TeamShares:
    """Max-min fair shares of a rate over teams, from the fleet's demand.

    As in core-stateless fair queueing, the requests of a team above its share are
    picked at random with the probability by which its demand exceeds the share, so
    that no count of a team is kept. *rows* are :class:`DemandRow`, measured over
    *window_s* seconds.
    """

    def __init__(self, rows, window_s=1.0):
        self._window_s = window_s
        self._teams = {}
        self._classes = {}
        for row in rows[:MAX_ROWS]:
            if not 0.0 < row.per_s < math.inf:
                continue
            per_s = min(row.per_s, MAX_PER_S)
            self._teams[row.team] = self._teams.get(row.team, 0.0) + per_s
            by_team = self._classes.setdefault(row.rank, {})
            by_team[row.team] = by_team.get(row.team, 0.0) + per_s
        self.total_per_s = sum(self._teams.values())
        self.share_per_s = math.inf

    def divide(self, per_s):
        """Compute the share of each team if *per_s* requests a second are admitted."""
        self.share_per_s = compute_fair_share(self._teams.values(), per_s)
        usual = [d for team, d in self._teams.items() if not self.get_excess(team)]
        others = [d for team, d in self._teams.items() if self.get_excess(team)]
        if others and usual:
            usual = shrink_to_mean(usual, self._window_s)
            self.share_per_s = compute_fair_share(usual + others, per_s)

    def get_excess(self, team):
        """Return which part of the requests of *team* is above its share, 0 to 1."""
        if len(self._teams) < 2:
            return 0.0
        per_s = self._teams.get(team, 0.0)
        allowed_per_s = self.share_per_s + DEVIATIONS * math.sqrt(
            per_s / self._window_s
        )
        return 1.0 - self.share_per_s / per_s if per_s > allowed_per_s else 0.0

    def get_largest_excess(self, rank):
        """Return the largest excess of a team that sends requests of *rank*."""
        teams = self._classes.get(rank, ())
        return max(map(self.get_excess, teams), default=0.0)

    def list_demand(self):
        """Return requests a second by rank and whether they are above the share."""
        demand = {}
        for rank, by_team in self._classes.items():
            total = sum(by_team.values())
            over = sum(d * self.get_excess(team) for team, d in by_team.items())
            demand[rank, False] = total - over
            demand[rank, True] = over
        return demand


def compute_fair_share(demands, per_s):
    """Return the share that divides *per_s* so that none gets more than it asks for."""
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        share = per_s / (len(ordered) - index)
        if demand > share:
            return max(0.0, share)
        per_s -= demand
    return math.inf


def shrink_to_mean(rates, window_s):
    """Return *rates* without the spread that random arrivals in *window_s* explain.

    Where few requests are counted, rates of equal teams differ, and the fair share of
    these rates would be several times too high for a team that asks for more.
    """
    mean = statistics.fmean(rates)
    variance = statistics.pvariance(rates, mean)
    kept = max(0.0, 1.0 - mean / window_s / variance) if variance > 0.0 else 0.0
    return [mean + kept * (per_s - mean) for per_s in rates]
