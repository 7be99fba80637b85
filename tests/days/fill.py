"""Writes the days with the names of one site's services into a folder."""

import pathlib
import sys


def main(folder, engines, application):
    """Fill in the names of the engines' and the application's service."""
    target = pathlib.Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    for path in sorted(pathlib.Path(__file__).parent.glob("*.toml")):
        text = path.read_text().replace("@llm", engines).replace("@app", application)
        (target / path.name).write_text(text)


if __name__ == "__main__":
    main(*sys.argv[1:])
