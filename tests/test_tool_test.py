"""tools/test must be able to fail: a stand-in ctest reports what a run may be."""
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

TOOL = pathlib.Path(__file__).resolve().parent.parent / "tools" / "test"

CTEST = """#!/usr/bin/env python3
import json, pathlib, sys
here = pathlib.Path(sys.argv[0]).parent
cases = json.loads((here / "cases.json").read_text())
words = {"pass": ("run", ""), "fail": ("fail", "<failure/>"), "skip": ("notrun", "<skipped/>"), "off": ("disabled", "")}
if cases is not None:
    body = "".join('<testcase name="%s" status="%s">%s</testcase>' % (name, *words[how]) for name, how in cases.items())
    pathlib.Path(sys.argv[sys.argv.index("--output-junit") + 1]).write_text("<testsuite>" + body + "</testsuite>")
sys.exit(8)
"""


class KnownRed(unittest.TestCase):
    def run_tool(self, cases, listed="", build=".", listing=True):
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            (root / "ctest").write_text(CTEST)
            (root / "ctest").chmod(0o755)
            (root / "cases.json").write_text(json.dumps(cases))
            if listing:
                (root / "list").write_text(listed)
            command = [sys.executable, str(TOOL), build, "--list", str(root / "list"), "--ctest", str(root / "ctest")]
            return subprocess.run(command, cwd=root, capture_output=True, text=True)

    def test_all_green_with_an_empty_list_passes(self):
        ran = self.run_tool({"a": "pass", "b": "pass"})
        self.assertEqual((ran.returncode, ran.stdout), (0, "2 passed, 0 failed\n"))

    def test_a_listed_red_test_is_printed_and_fails_nothing(self):
        ran = self.run_tool({"a": "pass", "b c": "fail"}, "b c | ctest -R b, seed 7 | lost 1 | issue 7\n")
        self.assertEqual(ran.returncode, 0, ran.stdout)
        self.assertIn("known red: b c | ctest -R b, seed 7 | lost 1 | issue 7\n", ran.stdout)

    def test_what_is_red_and_not_listed_fails_and_so_do_skipped_and_disabled_tests(self):
        for how in ("fail", "skip", "off"):
            ran = self.run_tool({"a": "pass", "b": how})
            self.assertEqual(ran.returncode, 1, how)
            self.assertIn("red and not listed: b", ran.stdout)

    def test_a_listed_test_that_passes_or_is_not_there_fails(self):
        ran = self.run_tool({"a": "pass"}, "a | x | y | issue 1\ngone | x | y | issue 2\n")
        self.assertEqual(ran.returncode, 1)
        self.assertIn("listed as red and passes: a", ran.stdout)
        self.assertIn("listed as red and not there: gone", ran.stdout)

    def test_an_intermittent_one_may_pass_or_fail_and_must_be_there(self):
        listed = "a | ctest -j8 | intermittent: 1 of 90 runs | issue 7\n"
        for how in ("pass", "fail"):
            ran = self.run_tool({"a": how, "b": "pass"}, listed)
            self.assertEqual(ran.returncode, 0, ran.stdout)
            self.assertIn("known red: a | ", ran.stdout)
        self.assertEqual(self.run_tool({"b": "pass"}, listed).returncode, 1)
        self.assertEqual(self.run_tool({"a": "fail", "b": "fail"}, listed).returncode, 1)

    def test_no_test_and_no_report_fail(self):
        for cases in ({}, None):
            ran = self.run_tool(cases)
            self.assertEqual(ran.returncode, 1)
            self.assertIn("no test was run", ran.stdout)

    def test_a_list_that_is_none_is_one_line_and_exit_code_2(self):
        whole = "t | command | seen | issue 1\n"
        short = ("t\n", "t | x\n", "t | x | issue 1\n", "t | x | y | soon\n", "t |  | y | issue 1\n", " | x | y | issue 1\n")
        for listed in (*short, whole + whole, whole + "t | other | seen | issue 2\n"):
            ran = self.run_tool({"t": "fail"}, listed)
            self.assertEqual((ran.returncode, ran.stderr.count("\n"), ran.stdout), (2, 1, ""), listed)
        self.assertEqual(self.run_tool({"t": "pass"}, listing=False).returncode, 2)
        self.assertEqual(self.run_tool({"t": "pass"}, build="nowhere").returncode, 2)


if __name__ == "__main__":
    unittest.main()
