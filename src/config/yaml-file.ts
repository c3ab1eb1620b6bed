/** Reads a YAML file and validates it against a schema; all problems are reported together, each with its line. */
import { readFileSync } from 'node:fs';
import { isNode, LineCounter, parseDocument, type Document } from 'yaml';
import type { z } from 'zod';
import { Err, Ok, type Result } from '../result.js';

/** One problem found in a file. */
export interface FileProblem {
  readonly file: string;
  /** Counted from 1. */
  readonly line: number;
  /** Path of the field, such as `services.stock.slots`; empty if the problem concerns the whole file. */
  readonly path: string;
  /** The value found and the values allowed. */
  readonly message: string;
}

type Path = readonly PropertyKey[];

/** Reads and validates `file`. */
export function readYamlFile<T>(file: string, schema: z.ZodType<T>): Result<T, FileProblem[]> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return Err([{ file, line: 1, path: '', message: `cannot be read: ${detail}` }]);
  }
  return parseYaml(file, text, schema);
}

/** Validates `text` as the content of `file`. */
export function parseYaml<T>(file: string, text: string, schema: z.ZodType<T>): Result<T, FileProblem[]> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines, prettyErrors: false });
  if (document.errors.length > 0) {
    return Err(
      document.errors.map((error) => {
        return { file, line: lines.linePos(error.pos[0]).line, path: '', message: error.message };
      }),
    );
  }
  const parsed = schema.safeParse(document.toJS() as unknown);
  if (parsed.success) return Ok(parsed.data);
  const problems = parsed.error.issues.flatMap((issue) => flattenIssue(issue));
  return Err(
    problems.map(({ path, message }) => {
      const line = lineOf(document, lines, path);
      return { file, line, path: path.map(String).join('.'), message: describe(document, path, message) };
    }),
  );
}

/** Formats a problem as one human-readable line. */
export function formatProblem(problem: FileProblem): string {
  const field = problem.path === '' ? '' : `${problem.path}: `;
  return `${problem.file}:${problem.line}: ${field}${problem.message}`;
}

interface LocatedMessage {
  readonly path: Path;
  readonly message: string;
}

/** Splits an issue into located messages; unknown fields arrive as one issue on their parent and get one message each. */
function flattenIssue(issue: z.core.$ZodIssue): LocatedMessage[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({ path: [...issue.path, key], message: 'unknown field' }));
  }
  if (issue.code === 'invalid_key') {
    return issue.issues.map((inner) => ({ path: issue.path, message: `as a name: ${inner.message}` }));
  }
  return [{ path: issue.path, message: issue.message }];
}

function lineOf(document: Document, lines: LineCounter, path: Path): number {
  for (let length = path.length; length >= 0; length -= 1) {
    const node: unknown = length === 0 ? document.contents : document.getIn(path.slice(0, length), true);
    const start = isNode(node) ? node.range?.[0] : undefined;
    if (start !== undefined) return lines.linePos(start).line;
  }
  return 1;
}

function describe(document: Document, path: Path, message: string): string {
  const found: unknown = document.getIn(path);
  const isScalar = ['string', 'number', 'boolean'].includes(typeof found);
  return isScalar ? `found ${JSON.stringify(found)}; ${message}` : message;
}
