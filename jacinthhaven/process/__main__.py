"""Entry point of `python -m jacinthhaven.process`."""

import sys

from jacinthhaven.process import start

sys.exit(start.main())
