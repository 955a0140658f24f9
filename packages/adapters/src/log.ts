/**
 * Structured logging with `loglevel`, as text or as one JSON object per line, to standard error.
 *
 * @module
 */
import type * as ports from "@jackdawlink/ports";
import type * as schema from "@jackdawlink/schema";
import loglevel from "loglevel";

type Level = schema.settings.LogSettings["level"];
type Format = schema.settings.LogSettings["format"];

/** Options of {@link LogFactory}. */
export interface LogOptions extends schema.settings.LogSettings {
  readonly wallMs?: () => number;
  /** Writes a formatted line; defaults to standard error. */
  readonly writeLine?: (line: string) => void;
}

interface Line {
  readonly at: string;
  readonly level: Level;
  readonly part: string;
  readonly message: string;
  readonly fields: ports.log.LogFields;
}

const FORMATTERS: Record<Format, (line: Line) => string> = {
  json: ({ at, level, part, message, fields }) =>
    JSON.stringify({ at, level, part, message, ...fields }),
  text: ({ at, level, part, message, fields }) =>
    [at, level.toUpperCase(), `[${part}]`, message, ...Object.entries(fields).map(formatField)]
      .join(" "),
};

/** Creates the loggers of the components of a process. */
export class LogFactory {
  readonly #options: LogOptions;

  constructor(options: LogOptions) {
    this.#options = options;
  }

  /** Returns the logger of a component, such as `store` or `router`. */
  part(part: string): ports.log.Log {
    const logger = loglevel.getLogger(Symbol(part));
    logger.methodFactory = (level) => (message: string, fields: ports.log.LogFields = {}) =>
      this.#write({ at: this.#timestamp(), level: level as Level, part, message, fields });
    logger.setLevel(this.#options.level, false);
    return {
      debug: (message, fields) => logger.debug(message, fields),
      info: (message, fields) => logger.info(message, fields),
      warn: (message, fields) => logger.warn(message, fields),
      error: (message, fields) => logger.error(message, fields),
    };
  }

  #timestamp(): string {
    const wallMs = this.#options.wallMs?.() ?? Date.now();
    return new Date(wallMs).toISOString();
  }

  #write(line: Line): void {
    const text = FORMATTERS[this.#options.format](line);
    if (this.#options.writeLine) this.#options.writeLine(text);
    else process.stderr.write(`${text}\n`);
  }
}

/** A logger that discards everything, for tests. */
export const SILENT_LOG: ports.log.Log = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};

function formatField([name, value]: [string, unknown]): string {
  const text = String(value);
  return `${name}=${/[\s"=]/.test(text) ? JSON.stringify(text) : text}`;
}
