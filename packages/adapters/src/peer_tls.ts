/**
 * TLS between entries. Both sides present a certificate that the authority signed; its common name is
 * the member id.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import type { PeerCertificate, TLSSocket } from "node:tls";
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";

/** The certificate files of the peer links cannot be used. */
export const PeerTlsError = schema.errors.InvalidInputError.subclass("PeerTlsError");

/** The contents of the certificate files, in PEM. */
export interface PeerTlsMaterial {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/** Reads the files that the settings name; the authority is required between peers. */
export function readPeerTls(
  settings: schema.settings.TlsSettings,
): Result<PeerTlsMaterial, schema.errors.JackdawlinkError> {
  if (settings.authorityFile === undefined) {
    return err(new PeerTlsError("peerTls.authorityFile is required between entries"));
  }
  try {
    return ok({
      cert: readFileSync(settings.certificateFile, "utf8"),
      key: readFileSync(settings.keyFile, "utf8"),
      ca: readFileSync(settings.authorityFile, "utf8"),
    });
  } catch (cause) {
    return err(new PeerTlsError("A file of peerTls cannot be read", { cause }));
  }
}

/** The member id that the certificate of the other side names; null without one. */
export function certifiedMemberId(socket: TLSSocket): string | null {
  const certificate = socket.getPeerCertificate();
  return commonNameOf(certificate);
}

/** Checks a server's certificate by its common name, since peers are addressed by IP numbers. */
export function serverIdentityCheck(
  expectedMemberId: string | null,
): (host: string, certificate: PeerCertificate) => Error | undefined {
  return (_host, certificate) => {
    const memberId = commonNameOf(certificate);
    const isExpected = memberId !== null &&
      (expectedMemberId === null || memberId === expectedMemberId);
    return isExpected
      ? undefined
      : new PeerTlsError(`The certificate of ${expectedMemberId ?? "a peer"} names ${memberId}`);
  };
}

function commonNameOf(certificate: PeerCertificate): string | null {
  const name = certificate.subject?.CN;
  return typeof name === "string" ? name : null;
}
