"""Test certificate authority for TLS between nodes."""

import datetime
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid


class CertificateAuthority:
    """Certificate authority that signs node certificates.

    Attributes:
        name: Common name of the authority and prefix of its file names.
        folder: Directory of the certificate and key files.
    """

    def __init__(self, *, name: str, folder: pathlib.Path) -> None:
        self.name = name
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.subject = build_subject_name(name)
        certificate = self.sign(self.subject, self.key.public_key(), True)
        self.path = folder / (name + '.pem')
        self.path.write_bytes(encode_pem(certificate))

    def sign(
        self, subject: x509.Name, key: ec.EllipticCurvePublicKey, ca: bool
    ) -> x509.Certificate:
        """Sign a certificate that expires in one day."""
        now = datetime.datetime.now(datetime.timezone.utc)
        day = datetime.timedelta(days=1)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.subject)
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - day)
            .not_valid_after(now + day)
            .add_extension(
                x509.BasicConstraints(ca=ca, path_length=None), True
            )
            .sign(self.key, hashes.SHA256())
        )

    def issue(self) -> dict[str, str]:
        """Issue a node certificate and return the TLS settings."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self.sign(
            build_subject_name(self.name + ' node'), key.public_key(), False
        )
        path = self.folder / (self.name + '-node.pem')
        path.write_bytes(encode_pem(certificate))
        key_path = self.folder / (self.name + '-node.key')
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return {
            'certificate': str(path),
            'key': str(key_path),
            'authority': str(self.path),
        }


def build_subject_name(text: str) -> x509.Name:
    """Build an X.509 name that has only a common name."""
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def encode_pem(certificate: x509.Certificate) -> bytes:
    """Encode a certificate as PEM."""
    return certificate.public_bytes(serialization.Encoding.PEM)
