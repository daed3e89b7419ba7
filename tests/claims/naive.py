"""Reference model of the differential tests: claims in a dictionary with a lock."""

from dataclasses import dataclass, field
from threading import Lock

DAY = 86_400.0


@dataclass(slots=True)
class NaiveClaims:
    records: dict = field(default_factory=dict)
    ended: set = field(default_factory=set)
    lost: set = field(default_factory=set)
    now: float = 0.0
    lock: Lock = field(default_factory=Lock)

    def claim(self, key, fingerprint, claim, date, require_dated):
        """Return the status, and the answer or the holder's identity."""
        with self.lock:
            record = self.get_record(key)
            if record is None:
                if (key, claim) in self.ended:
                    return "in_progress", None
                if (date and date < self.now - 30 * DAY) or (require_dated and not date):
                    return "expired", None
                record = {"fp": fingerprint, "claim": claim, "answer": None, "at": self.now}
                self.records[key] = {**record, "date": date}
                return "granted", None
            old = record["answer"] is not None and self.now - record["at"] > DAY
            if old:
                return "completed", "tombstone"
            if record["claim"] == claim:
                return "granted", None
            if record["answer"] is None:
                self.ended.add((key, claim))
            if record["fp"] != fingerprint:
                return "mismatch", None
            if record["answer"] is not None:
                return "completed", record["answer"]
            lost = record["claim"] in self.lost
            return ("claimant_lost" if lost else "in_progress"), None

    def complete(self, key, claim, answer):
        """Return whether the claim holds the key, or held it when it was completed."""
        with self.lock:
            record = self.get_record(key)
            if record is None or record["claim"] != claim:
                return False
            if record["answer"] is None:
                record.update(answer=answer, at=self.now)
                self.remove_lost_mark(claim)
            return True

    def release(self, key, claim):
        """Return whether the claim does not hold the key afterwards."""
        with self.lock:
            record = self.get_record(key)
            if record is not None and record["claim"] == claim:
                if record["answer"] is not None:
                    return False
                del self.records[key]
                self.remove_lost_mark(claim)
            elif record is not None and record["answer"] and self.now - record["at"] > DAY:
                return False
            self.ended.add((key, claim))
            return True

    def get_record(self, key):
        """Return the record of a key, unless its tombstone has expired."""
        record = self.records.get(key)
        if record is not None and self.now - max(record["at"], record["date"]) > 30 * DAY:
            del self.records[key]
            self.remove_lost_mark(record["claim"])
            return None
        return record

    def remove_lost_mark(self, claim):
        """Remove the mark of a lost host that has no open claim left."""
        records = self.records.values()
        if not any(r["claim"] == claim and r["answer"] is None for r in records):
            self.lost.discard(claim)
