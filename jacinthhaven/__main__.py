"""Entry point of `python -m jacinthhaven`."""

from jacinthhaven.cli import main

main.app()
