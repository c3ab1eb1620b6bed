/** What one incarnation of a soak's back end states in its answers: a request limit, and its leave. */
import { PLATFORM_HEADERS } from '../../platform/stand-in-wire.js';
import type { RequestLimitRule } from './request-limit-rule.js';

/** Header with the unique name of the answering incarnation, by which callers report to the judge. */
export const LIFE_HEADER = 'soak-life';

/** Statements of one incarnation. */
export class SoakSignals {
  /** Whether the answers state that the back end leaves. */
  statesLeave = false;
  private limitText: string | null = null;

  constructor(
    private readonly life: string,
    private readonly rule: RequestLimitRule,
  ) {}

  /** States a limit in all answers from now on, or none; a text that is not a decimal number states nothing. */
  stateLimit(text: string | null): void {
    this.limitText = text;
    const perSecond = text === null ? null : Number(text);
    if (!Number.isNaN(perSecond)) this.rule.stated(this.life, perSecond, performance.now());
  }

  /** Headers of an answer sent now. */
  headers(): Record<string, string> {
    return {
      [LIFE_HEADER]: this.life,
      ...(this.limitText === null ? {} : { [PLATFORM_HEADERS.requestLimit]: this.limitText }),
      ...(this.statesLeave ? { [PLATFORM_HEADERS.leaving]: '1' } : {}),
    };
  }
}
