#!/usr/bin/env python3
"""Checks that docs/OPERATIONS.md names only events, fields and outcomes that the daemons write.

Looks at the sections on gateway and steward: every word in backquotes that reads like a name has to stand in a source
as a text. Prints what does not, a line each, and exits 1 then.
"""
import pathlib
import re
import sys

SECTIONS = ("## Gateway and steward", "## From a failed request's id to its cause")
PACKAGES = ("gateway", "steward", "platform", "kernel", "experts", "apps")
# Not written by a daemon: roles, settings and places that the text speaks of.
OTHERS = {"operators", "control"}


def named(page):
    for section in SECTIONS:
        text = page.split(section + "\n", 1)[1].split("\n## ", 1)[0]
        for word in re.findall(r"`([^`\n]+)`", text):
            if re.fullmatch(r"[a-z][a-z0-9_]*|LB-[A-Z-]+", word):
                yield section, word


def written(root):
    texts = set()
    for package in PACKAGES:
        for path in (root / package).rglob("*pp"):
            if "tests" not in path.parts:
                for text in re.findall(r'"((?:[^"\\\n]|\\.)*)"', path.read_text()):
                    texts.update(re.findall(r"[A-Za-z][A-Za-z0-9_-]*", text))
    return texts


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    texts = written(root)
    page = (root / "docs" / "OPERATIONS.md").read_text()
    found = list(named(page))
    missing = sorted({f"{section}: {word}" for section, word in found if word not in texts | OTHERS})
    print(f"{len(found)} names, {len(missing)} that no source writes")
    for line in missing:
        print(line)
    sys.exit(1 if missing or not found else 0)


if __name__ == "__main__":
    main()
