"""Entry point of `python -m jacinthhaven.process`."""

import gc
import sys

# The imports create many objects and hardly any garbage; looking for it takes a
# tenth of their time. `start.main` enables the collector again.
gc.disable()

from jacinthhaven.process import start  # noqa: E402

sys.exit(start.main())
