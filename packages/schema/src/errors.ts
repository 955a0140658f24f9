/**
 * The root of all errors of the project. Each package derives its own from it; none is a bare string.
 *
 * @module
 */
import ModernError from "modern-errors";

/** The root of all errors of the project. */
export const JackdawlinkError = ModernError.subclass("JackdawlinkError");

/** Text from outside does not fit its schema; the message lists every issue. */
export const InvalidInputError = JackdawlinkError.subclass("InvalidInputError");

/** The platform store could not be reached or answered with an error; the write did not happen or may have. */
export const StoreUnavailableError = JackdawlinkError.subclass("StoreUnavailableError");

/** The process has used up its budget of store calls. */
export const StoreBudgetError = StoreUnavailableError.subclass("StoreBudgetError");

/** Another writer changed the record first. */
export const ConflictError = JackdawlinkError.subclass("ConflictError");

/** A checked set breaks a promise; nothing was published. */
export const CheckError = JackdawlinkError.subclass("CheckError");

/** A peer could not be reached. */
export const PeerUnavailableError = JackdawlinkError.subclass("PeerUnavailableError");

/** The platform could not be reached or answered with an error; the action may have happened. */
export const PlatformUnavailableError = JackdawlinkError.subclass("PlatformUnavailableError");

/** The platform refused an operation that is over or older than the VM's latest one. */
export const StaleOperationError = JackdawlinkError.subclass("StaleOperationError");

export type JackdawlinkError = InstanceType<typeof JackdawlinkError>;
