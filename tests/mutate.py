#!/usr/bin/env python3
"""Breaks the code in one place after another and tells whether the tests see it. Not run by CI.

  tests/mutate.py TABLE TEST [TEST ...]      e.g. tests/mutate.py tests/mutations/limits.txt limits_test storm_test

A line of TABLE: FILE | text | what it becomes (\\| is a bar, \\n a line's end; spaces match any space). Works on a copy of
the tree under build-mutants/, so the tree itself stays whole. Exits with 1 where a break went unseen.
"""
import os
import re
import shutil
import subprocess
import sys

root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
copy = os.path.join(root, "build-mutants", os.path.basename(sys.argv[1]).split(".")[0])
tests = sys.argv[2:]


def run(command, seconds):
    try:
        return subprocess.run(command, cwd=copy, capture_output=True, text=True, timeout=seconds)
    except subprocess.TimeoutExpired as e:
        return subprocess.CompletedProcess(command, 124, str(e.stdout), "")


def build():
    return run(["cmake", "--build", "build", "-j4", "--target", *tests], 900)


def seen_by():
    for test in tests:
        out = run([f"build/tests/{test}", "--gtest_brief=1"] if "replay" not in test else
                  [f"build/tests/{test}", f"tests/fuzz/corpus/{test.split('_')[0]}"], 120)
        if out.returncode != 0:
            names = re.findall(r"\[  FAILED  \] ([\w./]+)(?: \(|$)", out.stdout, re.M)
            return ", ".join(dict.fromkeys(names)) or f"{test} ended with {out.returncode}"
    return ""


if __name__ == "__main__":
    shutil.rmtree(copy, ignore_errors=True)
    files = subprocess.run(["git", "ls-files", "-co", "--exclude-standard", ":!journal"], cwd=root,
                           capture_output=True, text=True, check=True).stdout.split("\n")
    for name in filter(None, files):
        if not os.path.exists(os.path.join(root, name)):
            continue
        os.makedirs(os.path.dirname(os.path.join(copy, name)), exist_ok=True)
        shutil.copy2(os.path.join(root, name), os.path.join(copy, name))
    run(["cmake", "-B", "build", "-DCMAKE_BUILD_TYPE=Release", "-DCMAKE_CXX_FLAGS_RELEASE=-O1", "-DPEBBLENOTCH_BUILD_TESTS=ON"], 120)
    built = build()
    if built.returncode != 0 or seen_by():
        sys.exit(f"the tests fail without any break:\n{built.stdout[-2000:]}{built.stderr[-2000:]}")
    unseen = 0
    for line in open(os.path.join(root, sys.argv[1])):
        if not line.strip() or line.startswith("#"):
            continue
        name, old, new = (p.strip(" ").replace("\\|", "|").replace("\\n", "\n")
                          for p in re.split(r"(?<!\\)\|", line.rstrip("\n")))
        path = os.path.join(copy, name)
        whole = open(path).read()
        pattern = r"\s+".join(re.escape(part) for part in old.split())
        if len(re.findall(pattern, whole)) < 1:
            sys.exit(f"{name} has no: {old}")
        open(path, "w").write(re.sub(pattern, lambda _: new, whole, count=1))
        built = build()
        verdict = "does not build" if built.returncode != 0 else seen_by() or "UNSEEN"
        unseen += verdict in ("UNSEEN", "does not build")
        print(f"{verdict:60} {name}: {' '.join(old.split())[:90]}", flush=True)
        open(path, "w").write(whole)
    print(f"{unseen} breaks unseen")
    sys.exit(1 if unseen else 0)
