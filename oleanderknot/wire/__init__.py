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
from oleanderknot.wire.gossip import model_hashes
from oleanderknot.wire.gossip import model_version
from oleanderknot.wire.gossip import wire_hashes
from oleanderknot.wire.gossip import wire_version
from oleanderknot.wire.key_state import build_key_state
from oleanderknot.wire.key_state import read_key_state
from oleanderknot.wire.translate import answer_from_head
from oleanderknot.wire.translate import call_from_open
from oleanderknot.wire.translate import failure_from_refusal
from oleanderknot.wire.translate import flatten
from oleanderknot.wire.translate import head_from_answer
from oleanderknot.wire.translate import open_from_call
from oleanderknot.wire.translate import pair
from oleanderknot.wire.translate import refusal_from_failure
from oleanderknot.wire.translate_member import model_member
from oleanderknot.wire.translate_member import wire_member
from oleanderknot.wire.translate_policy import model_digest
from oleanderknot.wire.translate_policy import model_scope
from oleanderknot.wire.translate_policy import wire_digest
from oleanderknot.wire.translate_policy import wire_scope

__all__ = [
    'build_key_state',
    'read_key_state',
    'model_digest',
    'model_scope',
    'wire_digest',
    'wire_scope',
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
    'flatten',
    'head_from_answer',
    'model_hashes',
    'model_member',
    'model_version',
    'open_from_call',
    'pair',
    'refusal_from_failure',
    'wire_hashes',
    'wire_member',
    'wire_version',
]
