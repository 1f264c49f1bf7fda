"""Which asks are let in, and in what order they are taken up. Free of I/O and clock.

``retries`` bounds what repeats may add; ``room`` how many tasks may be open and whose; ``line`` holds what waits to be taken
up, in order; ``drain`` learns how fast it moves, ``standing`` whether it ever empties; ``admission`` puts them together.
``sessions`` bounds what hellos may leave behind; ``credit`` says how many asks owners may have open, ``reading`` whose
stream is left unread for a while.
"""

from sprucepost.admission.admission import Admission, AdmissionRequest, Verdict
from sprucepost.admission.retries import RetryBudget
from sprucepost.admission.sessions import SessionTable

__all__ = ["Admission", "AdmissionRequest", "RetryBudget", "SessionTable", "Verdict"]
