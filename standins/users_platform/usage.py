"""The simulated API for usage reports, which records each call that breaks its rules."""

import asyncio


class UsageApi:
    def __init__(self, fenced=True):
        self.fenced = fenced
        self.accepted = {}  # the counts by window
        self.calls = []  # the calls that were carried out, as (fencing token, holder, window)
        self.violations = []
        self.down = False
        self.call_delay_s = 0.0  # the time until a call is carried out, and its token checked
        self.answer_delay_s = 0.0  # the time from then to the answer
        self.lost_answers = 0  # the next calls that are carried out and not answered
        self.holders = {}  # by fencing token
        self.refused = set()  # tokens that were refused, as (fencing token, holder)

    async def handle(self, _method, _path, _query, headers, body):
        """Carries out a call; returns (status, body), or None when the answer is lost."""
        if self.down:
            return 503, {}
        await asyncio.sleep(self.call_delay_s)
        call = (int(headers["fencing-token"]), headers["lease-holder"], body["window_seq"])
        status = self.carry_out(*call, body["counts"])
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return None
        await asyncio.sleep(self.answer_delay_s)
        return status, {}

    def carry_out(self, fence, holder, window, counts):
        if self.holders.setdefault(fence, holder) != holder:
            self.violations.append(f"token {fence} of {self.holders[fence]} used by {holder}")
        if (fence, holder) in self.refused:
            self.violations.append(f"refused token {fence} used again by {holder}")
        if fence < max(self.holders):
            if self.fenced:
                self.refused.add((fence, holder))
                return 409
            self.violations.append(f"outdated token {fence} used by {holder}")
        self.calls.append((fence, holder, window))
        if self.accepted.setdefault(window, counts) != counts:
            self.violations.append(f"two different reports for window {window}, one by {holder}")
        return 200
