/**
 * Structured log lines.
 *
 * @module
 */

/** The fields of one line; names carry units. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

/** A log with the fixed prefix of one part of a program. */
export interface Log {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}
