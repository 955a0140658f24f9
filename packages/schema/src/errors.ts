/**
 * The base error class and the errors shared by several packages. Each package derives its own
 * errors from these.
 *
 * @module
 */
import ModernError from "modern-errors";

/** The base class of all errors of the project. */
export const JackdawlinkError = ModernError.subclass("JackdawlinkError");

/** Input does not match its schema; the message lists every issue. */
export const InvalidInputError = JackdawlinkError.subclass("InvalidInputError");

/** The platform store was unreachable or failed; a write may or may not have taken effect. */
export const StoreUnavailableError = JackdawlinkError.subclass("StoreUnavailableError");

/** The call was not sent because this process has exhausted its rate limit for store calls. */
export const StoreBudgetError = StoreUnavailableError.subclass("StoreBudgetError");

/** A compare-and-swap failed because another writer changed the record first. */
export const ConflictError = JackdawlinkError.subclass("ConflictError");

/** A configuration failed its checks; nothing was published. */
export const CheckError = JackdawlinkError.subclass("CheckError");

/** A peer could not be reached. */
export const PeerUnavailableError = JackdawlinkError.subclass("PeerUnavailableError");

/** The platform was unreachable or failed; the action may or may not have taken effect. */
export const PlatformUnavailableError = JackdawlinkError.subclass("PlatformUnavailableError");

/** The platform refused an operation that has ended or is older than the VM's latest operation. */
export const StaleOperationError = JackdawlinkError.subclass("StaleOperationError");

export type JackdawlinkError = InstanceType<typeof JackdawlinkError>;
