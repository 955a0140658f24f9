/**
 * Comma-separated values as RFC 4180 defines them.
 *
 * @module
 */

/** One row; numbers are written in full. */
export type CsvRow = readonly (string | number)[];

const NEEDS_QUOTES = /[",\r\n]/;

/** Writes rows below a header row. */
export function formatCsv(header: readonly string[], rows: readonly CsvRow[]): string {
  const lines = [header, ...rows].map((row) => row.map(formatCell).join(","));
  return `${lines.join("\n")}\n`;
}

function formatCell(cell: string | number): string {
  const text = String(cell);
  return NEEDS_QUOTES.test(text) ? `"${text.replaceAll('"', '""')}"` : text;
}
