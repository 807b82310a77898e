"""Callers and node streams over TLS, set up by endpoint strings only."""

import datetime
import pathlib
import ssl
import urllib.request

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
from cryptography.x509 import oid
import pytest

from fireflystandins import local

pytestmark = pytest.mark.processes


def make_certificate(folder: pathlib.Path) -> local.Tls:
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, "node")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + datetime.timedelta(hours=1))
        .sign(key, hashes.SHA256())
    )
    trusted = folder / "trusted"
    trusted.mkdir()
    pem = certificate.public_bytes(serialization.Encoding.PEM)
    (trusted / "node.pem").write_bytes(pem)
    (folder / "key.pem").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return local.Tls(folder / "key.pem", trusted / "node.pem", trusted)


def read(url: str, context: ssl.SSLContext) -> str:
    with urllib.request.urlopen(url, context=context, timeout=5) as reply:
        return reply.read().decode()


def test_callers_and_streams_over_tls(tmp_path):
    tls = make_certificate(tmp_path)
    context = ssl.create_default_context(cafile=str(tls.certificate))
    context.check_hostname = False
    with local.running(tmp_path / "system") as system:
        system.start_platform()
        for number, domain in enumerate("ab", start=1):
            system.start_daemon(f"node{number}", domain, tls=tls)
        for daemon in system.daemons:

            def peers(url: str = f"{daemon.callers}/metrics") -> bool:
                return "fireflypulley_peers 1" in read(url, context)

            local.wait_for(f"{daemon.node_id} has a peer", peers)
