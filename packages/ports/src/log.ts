/**
 * Structured logging.
 *
 * @module
 */

/** The fields of a log line. Field names include the unit, such as `waitMs`. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

/** The logger of one component of a program. */
export interface Log {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}
