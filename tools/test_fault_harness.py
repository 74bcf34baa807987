"""Tests of the check that the fault runs share: each deviation is found, and a sound run passes."""

import types
import unittest

import fault_harness

CHECKS = ("doubled", "falseNotRun", "answeredNeverRun", "foreign", "cutOff")


def ledger(*runs):
    return {"dropped": 0, "runs": [{"method": method, "key": key, "nonce": nonce} for method, key, nonce in runs]}


def load(*told, foreign=0):
    lines = [{"name": name, "key": key, "end": end, "status": status, "outcome": outcome} for name, key, end, status, outcome in told]
    return types.SimpleNamespace(told=lines, foreign=foreign)


ANSWERED = ("answered", 200, "answered")


class CompareTest(unittest.TestCase):
    def assert_found(self, result, *expected):
        self.assertEqual([check for check in CHECKS if result[check]], list(expected))

    def test_sound_run_passes(self):
        runs = ledger(("POST", "k", "n"), ("GET", "", "g"), ("GET", "", "g"))
        told = load(("k", "k", *ANSWERED), ("g", "", *ANSWERED), ("x", "", "answered", 503, "not-run"), ("y", "", "answered", 504, "unknown"))
        self.assert_found(fault_harness.compare([runs], [told], []))

    def test_keyed_request_that_ran_at_two_targets_is_found(self):
        result = fault_harness.compare([ledger(("POST", "k", "n")), ledger(("POST", "k", "n"))], [load(("k", "k", *ANSWERED))], [])
        self.assert_found(result, "doubled")

    def test_unkeyed_request_that_ran_twice_is_found_though_its_caller_was_cut_off(self):
        result = fault_harness.compare([ledger(("POST", "", "n"), ("POST", "", "n"))], [], [load(("n", "", "cut-off", 0, ""))])
        self.assert_found(result, "doubled")

    def test_not_run_told_of_one_that_ran_is_found(self):
        result = fault_harness.compare([ledger(("POST", "", "n"))], [load(("n", "", "answered", 503, "not-run"))], [])
        self.assert_found(result, "falseNotRun")

    def test_answer_to_a_request_that_no_target_ran_is_found(self):
        self.assert_found(fault_harness.compare([ledger()], [load(("n", "", *ANSWERED))], []), "answeredNeverRun")

    def test_foreign_answer_is_found(self):
        self.assert_found(fault_harness.compare([ledger()], [load(foreign=1)], []), "foreign")

    def test_lost_answers_count_only_at_entries_without_a_fault(self):
        told = load(("n", "", "cut-off", 0, ""), ("m", "", "timed-out", 0, ""))
        self.assert_found(fault_harness.compare([ledger()], [], [told]))
        self.assert_found(fault_harness.compare([ledger()], [told], []), "cutOff")


if __name__ == "__main__":
    unittest.main()
