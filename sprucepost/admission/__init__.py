"""Admission control: which submissions are admitted, and in what order they are processed. Free of I/O and clock.

=======================  ==============================================================================================
``admission``            combines the parts below
``open_task_limit``      bounds how many tasks may be open, and each owner's share of them
``weighted_fair_queue``  holds admitted requests in the order in which they are processed
``service_time``         measures what processing a request costs
``overload``             tells an overload from a burst by whether the queue ever empties
``retries``              bounds the load that repeated submissions may add
``credit``               bounds how many submissions owners may have open, before they send them
``read_pauses``          decides whose stream is not read for a while
``sessions``             bounds how many sessions are kept
=======================  ==============================================================================================
"""

from sprucepost.admission.admission import Admission, AdmissionRequest, Verdict
from sprucepost.admission.retries import RetryBudget
from sprucepost.admission.sessions import SessionTable

__all__ = ["Admission", "AdmissionRequest", "RetryBudget", "SessionTable", "Verdict"]
