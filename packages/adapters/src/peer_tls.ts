/**
 * Mutual TLS between entries. Both sides present a certificate signed by the authority, whose
 * common name is the member id.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import type { PeerCertificate, TLSSocket } from "node:tls";
import * as schema from "@jackdawlink/schema";
import { err, ok, type Result } from "neverthrow";

/** A certificate of a peer link cannot be read or names another member. */
export const PeerTlsError = schema.errors.InvalidInputError.subclass("PeerTlsError");

/** The contents of the PEM files. */
export interface PeerTlsMaterial {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/** Reads the PEM files named in the settings. `authorityFile` is required between peers. */
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

/** Returns the member id from the certificate of the remote side; null without a certificate. */
export function certifiedMemberId(socket: TLSSocket): string | null {
  const certificate = socket.getPeerCertificate();
  return commonNameOf(certificate);
}

/**
 * Creates a `checkServerIdentity` function that compares the common name with the member id. The
 * default check compares host names, but peers are addressed by IP address.
 */
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
