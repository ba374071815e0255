"""Platform calls of the membership for member records and the list of instances."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import msgspec
import prometheus_client
from returns.pipeline import is_successful

from almondspool.codes import ResultCode
from almondspool.coordination.membership.member_actions import (
    DeleteRecord,
    ReadRecordsAndListing,
    WriteRecord,
)
from almondspool.errors import PeerError
from almondspool.protocol.member_checks import check_member
from almondspool.state.members import Member

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from almondspool.coordination.membership.member_actions import Action
    from almondspool.coordination.membership.membership import Membership
    from almondspool.logs import EventLog
    from almondspool.protocol.platform import PlatformInterface, PlatformObject

    # A step of the membership, called with the monotonic seconds of its execution.
    MembershipStep = Callable[[float], list[Action]]

MEMBER_KIND = "member"
# Results of a write whose expected version is not that of the stored record, or whose
# record the platform no longer has.
_STALE_VERSION_CODES = (ResultCode.PLATFORM_CONFLICT, ResultCode.PLATFORM_NOT_FOUND)
PlatformAction = WriteRecord | ReadRecordsAndListing | DeleteRecord


class MemberRecords:
    """Executes the membership's platform actions, one at a time.

    Attributes:
        last_records: The records as of the last read.
    """

    def __init__(
        self,
        membership: Membership,
        platform: PlatformInterface,
        log: EventLog,
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        """Connect the platform with the membership that handles its replies."""
        self._membership = membership
        self._platform = platform
        self._log = log
        self._version_by_instance: dict[str, int] = {}
        self.last_records: tuple[Member, ...] = ()
        self._refused = prometheus_client.Counter(
            "almondspool_member_records_refused",
            "Member records in the platform that cannot be decoded.",
            registry=registry,
        )

    def execute(self, action: PlatformAction) -> list[MembershipStep]:
        """Make the calls of one action; return the membership's steps that follow.

        Called in the membership's platform thread; the task executes the steps in order
        with its other events.
        """
        if isinstance(action, WriteRecord):
            return self._write()
        if isinstance(action, DeleteRecord):
            return self._delete(action.instance)
        return self._read()

    def _write(self) -> list[MembershipStep]:
        # The record may have changed while the action waited for a slow call.
        own = self._membership.own
        value = msgspec.msgpack.encode(own)
        for _attempt in range(2):
            version = self._version_by_instance.get(own.instance, 0)
            result = self._platform.put(MEMBER_KIND, own.instance, value, version)
            if is_successful(result):
                self._version_by_instance[own.instance] = result.unwrap().version
                return []
            error = result.failure()
            if error.code not in _STALE_VERSION_CODES:
                break
            stored = self._read_own(own.instance)
            if stored is not None and stored.session > own.session:
                receive = self._membership.receive_own_record
                return [functools.partial(receive, stored)]
        self._log.write("member.record_failed", code=error.code.name, reason=error)
        return [self._membership.on_record_lost]

    def _read_own(self, instance: str) -> Member | None:
        result = self._platform.get(MEMBER_KIND, instance)
        if not is_successful(result):
            self._version_by_instance.pop(instance, None)
            return None
        return next(iter(self._decode((result.unwrap(),))), None)

    def _delete(self, instance: str) -> list[MembershipStep]:
        version = self._version_by_instance.pop(instance, 0)
        if version:
            result = self._platform.delete(MEMBER_KIND, instance, version)
            done = is_successful(result)
            self._log.write("member.record_deleted", instance=instance, done=done)
        return []

    def _read(self) -> list[MembershipStep]:
        steps: list[MembershipStep] = []
        listed = self._platform.list(MEMBER_KIND)
        if is_successful(listed):
            objects_by_name = listed.unwrap().objects_by_name
            records = tuple(self._decode(objects_by_name.values()))
            self.last_records = records
            steps.append(lambda now: self._membership.receive_records(records, now))
        instances = self._platform.list_instances()
        if is_successful(instances):
            listings = instances.unwrap()
            steps.append(lambda now: self._membership.receive_listings(listings, now))
        return steps

    def _decode(self, objects: Iterable[PlatformObject]) -> Iterable[Member]:
        for item in objects:
            self._version_by_instance[item.name] = item.version
            try:
                yield _decode_record(item)
            except (
                msgspec.MsgspecError,
                UnicodeDecodeError,
                RecursionError,
                PeerError,
            ) as error:
                self._refuse(item, str(error))

    def _refuse(self, item: PlatformObject, reason: str) -> None:
        self._refused.inc()
        self._log.write(
            "member.record_refused",
            code=ResultCode.PLATFORM_REPLY_INVALID.name,
            name=item.name,
            version=item.version,
            reason=reason,
        )


def _decode_record(item: PlatformObject) -> Member:
    member = msgspec.msgpack.decode(item.value, type=Member)
    check_member(member)
    if member.instance != item.name or not member.peer_address:
        raise PeerError(
            f"the record is of instance {member.instance}"
            f" at address {member.peer_address}"
        )
    return member
