/**
 * Formats comma-separated values according to RFC 4180.
 *
 * @module
 */

/** One row; numbers are written with full precision. */
export type CsvRow = readonly (string | number)[];

const NEEDS_QUOTES = /[",\r\n]/;

/** Formats a header row followed by `rows`. */
export function formatCsv(header: readonly string[], rows: readonly CsvRow[]): string {
  const lines = [header, ...rows].map((row) => row.map(formatCell).join(","));
  return `${lines.join("\n")}\n`;
}

function formatCell(cell: string | number): string {
  const text = String(cell);
  return NEEDS_QUOTES.test(text) ? `"${text.replaceAll('"', '""')}"` : text;
}
