/** Asks at the back end's address which life is there, where a heartbeat alone cannot tell. */
import type { BackendLife } from '../model/backend-life.js';
import type { Runtime } from '../runtime/runtime.js';
import type { BackendCalls, BackendIdentity } from './backend-report.js';
import type { LocalBackend } from './local-backend.js';

/** Time in ms after its last heartbeat in which a life gives way to another one only if its address says so. */
const FRESH_LIFE_MS = 1_500;

/** What the check needs of its daemon. */
export interface LifeCheckPorts {
  readonly runtime: Runtime;
  readonly backend: LocalBackend;
  readonly calls: BackendCalls;
  /** Path at which the back end tells who it is; null where it cannot be asked. */
  readonly healthPath: () => string | null;
}

/** The check. */
export class LifeCheck {
  constructor(private readonly ports: LifeCheckPorts) {}

  /**
   * Whether a life that told about itself may be the one at the address. A heartbeat that was held up may come after its
   * sender has ended and another life has begun there; taken for news, it would end the registration of the life that is
   * there. Where the address does not answer, a life that was heard lately stays.
   */
  async isPresent(life: BackendLife): Promise<boolean> {
    const { runtime, backend, calls } = this.ports;
    const path = this.ports.healthPath();
    if (path === null || backend.knows(life)) return true;
    const seen = await calls.identify(path);
    if (seen?.id === undefined || seen.id === null) {
      return backend.life === null || runtime.nowMs() - backend.lastHeardMs > FRESH_LIFE_MS;
    }
    return isThatLife(seen, life);
  }

  /** Whether the life that is known is the one at the address; where nobody can be asked, it is taken to be. */
  async isKnown(): Promise<boolean> {
    const { backend, calls } = this.ports;
    const { heartbeat } = backend;
    const path = this.ports.healthPath();
    if (path === null || heartbeat === null) return true;
    const seen = await calls.identify(path);
    return seen !== null && isThatLife(seen, heartbeat);
  }

  /** Whether the present life is at the address and says that it stays; where nobody can be asked, it is taken to. */
  async staysThere(): Promise<boolean> {
    const path = this.ports.healthPath();
    if (path === null) return true;
    const seen = await this.ports.calls.identify(path);
    const { heartbeat } = this.ports.backend;
    return seen?.isWell === true && heartbeat !== null && isThatLife(seen, heartbeat);
  }

  /**
   * Which life says goodbye. One that does not say when it started is taken for the present one of its id, unless an
   * earlier life had the same id and the address says that the present one is well: the word of the earlier one came late.
   */
  async saysGoodbye(said: BackendLife): Promise<BackendLife> {
    const { backend, calls } = this.ports;
    const { heartbeat } = backend;
    if (said.bornMs !== null || heartbeat?.id !== said.id) return said;
    const path = this.ports.healthPath();
    if (path === null || !backend.hadOtherLife(said.id)) return heartbeat;
    const seen = await calls.identify(path);
    return seen?.isWell === true ? said : heartbeat;
  }
}

/** Whether what a back end tells of itself fits a life; what it does not tell fits any. */
function isThatLife(seen: BackendIdentity, { id, bornMs }: BackendLife): boolean {
  return (seen.id ?? id) === id && (seen.bornMs ?? bornMs) === bornMs;
}
