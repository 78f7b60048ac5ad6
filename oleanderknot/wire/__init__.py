"""Thrift encoding of the messages between nodes."""

from oleanderknot.wire.bad_frame import BadFrame
from oleanderknot.wire.codec import Codec
from oleanderknot.wire.codec import encode
from oleanderknot.wire.codec import MAX_FRAME_BYTES
from oleanderknot.wire.frame_reader import FrameReader
from oleanderknot.wire.gen.peer.ttypes import Cancel
from oleanderknot.wire.gen.peer.ttypes import Chunk
from oleanderknot.wire.gen.peer.ttypes import Credit
from oleanderknot.wire.gen.peer.ttypes import Failure
from oleanderknot.wire.gen.peer.ttypes import Frame
from oleanderknot.wire.gen.peer.ttypes import Goodbye
from oleanderknot.wire.gen.peer.ttypes import Gossip
from oleanderknot.wire.gen.peer.ttypes import Head
from oleanderknot.wire.gen.peer.ttypes import Hello
from oleanderknot.wire.gen.peer.ttypes import KeyQuery
from oleanderknot.wire.gen.peer.ttypes import KeyState
from oleanderknot.wire.gen.peer.ttypes import Member
from oleanderknot.wire.gen.peer.ttypes import MemberVersion
from oleanderknot.wire.gen.peer.ttypes import Open
from oleanderknot.wire.gen.peer.ttypes import Ping
from oleanderknot.wire.gen.peer.ttypes import PolicyDigest
from oleanderknot.wire.gen.peer.ttypes import PolicySync
from oleanderknot.wire.gen.peer.ttypes import Pong
from oleanderknot.wire.gen.peer.ttypes import ScopeState
from oleanderknot.wire.gossip import hashes_from_wire
from oleanderknot.wire.gossip import hashes_to_wire
from oleanderknot.wire.gossip import version_from_wire
from oleanderknot.wire.gossip import version_to_wire
from oleanderknot.wire.key_state import build_key_state
from oleanderknot.wire.key_state import parse_key_state
from oleanderknot.wire.translate_call import answer_from_head
from oleanderknot.wire.translate_call import call_from_open
from oleanderknot.wire.translate_call import failure_from_refusal
from oleanderknot.wire.translate_call import flatten_headers
from oleanderknot.wire.translate_call import head_from_answer
from oleanderknot.wire.translate_call import open_from_call
from oleanderknot.wire.translate_call import pair_headers
from oleanderknot.wire.translate_call import refusal_from_failure
from oleanderknot.wire.translate_member import member_from_wire
from oleanderknot.wire.translate_member import member_to_wire
from oleanderknot.wire.translate_policy import digest_from_wire
from oleanderknot.wire.translate_policy import digest_to_wire
from oleanderknot.wire.translate_policy import scope_from_wire
from oleanderknot.wire.translate_policy import scope_to_wire

__all__ = [
    'build_key_state',
    'parse_key_state',
    'digest_from_wire',
    'scope_from_wire',
    'digest_to_wire',
    'scope_to_wire',
    'BadFrame',
    'Cancel',
    'Chunk',
    'Codec',
    'Credit',
    'Failure',
    'Frame',
    'FrameReader',
    'Goodbye',
    'Gossip',
    'Head',
    'Hello',
    'KeyQuery',
    'KeyState',
    'MAX_FRAME_BYTES',
    'Member',
    'MemberVersion',
    'Open',
    'Ping',
    'PolicyDigest',
    'PolicySync',
    'Pong',
    'ScopeState',
    'answer_from_head',
    'call_from_open',
    'encode',
    'failure_from_refusal',
    'flatten_headers',
    'head_from_answer',
    'hashes_from_wire',
    'member_from_wire',
    'version_from_wire',
    'open_from_call',
    'pair_headers',
    'refusal_from_failure',
    'hashes_to_wire',
    'member_to_wire',
    'version_to_wire',
]
