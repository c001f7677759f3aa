"""Conversion of messages that several kinds of frames contain, to and from protobuf."""

from comfreysill.job.types import JobKey
from comfreysill.partition.epoch import Epoch
from comfreysill.partition.hashing import PARTITION_COUNT
from comfreysill.target.messages import FloorUpdate, PartitionClaim
from comfreysill.wire import comfreysill_pb2 as pb
from comfreysill.wire.errors import FrameError


def encode_claim(claim: PartitionClaim) -> pb.PartitionClaim:
    """Encodes a claim of a partition."""
    return pb.PartitionClaim(
        partition=claim.partition, number=claim.epoch.number, owner=claim.epoch.owner
    )


def decode_claim(claim: pb.PartitionClaim) -> PartitionClaim:
    """Decodes a claim of a partition.

    Raises:
        FrameError: There is no such partition.
    """
    if claim.partition >= PARTITION_COUNT:
        raise FrameError(f"partition: {claim.partition}")
    epoch = Epoch(number=claim.number, owner=claim.owner)
    return PartitionClaim(partition=claim.partition, epoch=epoch)


def encode_key(key: JobKey) -> pb.JobName:
    """Encodes a job key."""
    return pb.JobName(team=key.team, job_id=key.job_id)


def decode_key(
    message: pb.JobName | pb.StartBatch | pb.LedgerRecord | pb.TaskDone | pb.Refused,
) -> JobKey:
    """Decodes the job key of any message that contains one."""
    return JobKey(team=message.team, job_id=message.job_id)


def encode_floor(message: FloorUpdate) -> pb.FloorUpdate:
    """Encodes an update of the floor document."""
    return pb.FloorUpdate(version=message.version, document=message.document)


def decode_floor(message: pb.FloorUpdate) -> FloorUpdate:
    """Decodes an update of the floor document."""
    return FloorUpdate(version=message.version, document=message.document)
