/** Routes of the soak of planned work, and its changes of the configuration, which are sent one after the other. */
import {
  configurationBody,
  limitsBody,
  removalBody,
  STAND_IN_LIMITS,
  type StandInRoute,
} from '../../platform/stand-in-wire.js';
import type { GrantMode } from '../../src/directory/directory-state.js';
import type { PlannedWorkLog } from './planned-work-log.js';
import type { SoakOperator } from './soak-operator.js';
import type { SoakService } from './soak-plan.js';

const HOST = 'soak.example';
const MS_PER_SECOND = 1_000;

/** Time limit of requests in s, longer than any work that callers ask for. */
const USUAL_TIMEOUT_S = 20;

/** Routes to a service of a soak, and whether its requests carry keys. */
export interface PlannedWorkRoute extends StandInRoute {
  readonly keyed: boolean;
}

/** Limits that are smaller than those of the first configuration. */
export const SMALLER_LIMITS: typeof STAND_IN_LIMITS = {
  max_header_bytes: 8_192,
  max_body_bytes: 32_768,
  header_timeout_s: 1,
  idle_timeout_s: 1,
};

/** Returns the routes of all services: for repeatable and other requests, and for downloads. */
export function plannedWorkRoutes(services: readonly SoakService[]): PlannedWorkRoute[] {
  const kinds = ['safe', 'non_idempotent', 'download'] as const;
  return services.flatMap(({ name, keyed }) =>
    kinds.map((kind) => ({
      name: `${name}-${kind}`,
      host: HOST,
      prefix: `/${name}/${kind}/`,
      kind,
      service: name,
      version: 1,
      timeoutSeconds: USUAL_TIMEOUT_S,
      keyed,
    })),
  );
}

/** Sends changes and records them. */
export class PlannedWorkChanges {
  private version = 1;
  private sending: Promise<boolean> = Promise.resolve(true);

  constructor(
    readonly routes: readonly PlannedWorkRoute[],
    private readonly operator: SoakOperator,
    private readonly log: PlannedWorkLog,
  ) {}

  /** Sets all routes, the services and the limits; returns false if the change was not acknowledged. */
  async setFirst(services: readonly SoakService[], grantMode: GrantMode): Promise<boolean> {
    const rows = services.map((service) => ({ ...service, grantMode }));
    const timeouts = timeoutsOf(this.routes);
    return await this.change(timeouts, () => {
      return { body: configurationBody(this.routes, rows, 1), routes: this.routes };
    });
  }

  /** Sets routes with a time limit in s; without one, with the usual limit. */
  async setRoutes(routes: readonly StandInRoute[], timeoutSeconds: number = USUAL_TIMEOUT_S): Promise<void> {
    const changed = routes.map((route) => ({ ...route, timeoutSeconds }));
    await this.change(timeoutsOf(changed), (version) => {
      const versioned = changed.map((route) => ({ ...route, version }));
      return { body: configurationBody(versioned, [], version), routes: versioned };
    });
  }

  /** Removes routes. */
  async removeRoutes(routes: readonly StandInRoute[]): Promise<void> {
    const names = routes.map(({ name }) => name);
    await this.change(new Map(), (version) => ({ body: removalBody(names, version), routes: [] }));
  }

  /** Sets the limits. */
  async setLimits(limits: typeof STAND_IN_LIMITS = STAND_IN_LIMITS): Promise<void> {
    await this.change(new Map(), (version) => ({ body: limitsBody(limits, version), routes: [] }));
  }

  /** A change waits for the one before it, since an older version must not follow a newer one. */
  private async change(
    timeoutsMs: ReadonlyMap<string, number>,
    makeChange: (version: number) => { body: string; routes: readonly StandInRoute[] },
  ): Promise<boolean> {
    const send = async (): Promise<boolean> => {
      this.version += 1;
      const { body, routes } = makeChange(this.version);
      const acknowledged = this.log.changeSent(timeoutsMs, performance.now());
      const isAcknowledged = await this.operator.change(body, routes);
      if (isAcknowledged) {
        acknowledged(performance.now());
        this.operator.changes += 1;
      }
      return isAcknowledged;
    };
    this.sending = this.sending.then(send);
    return await this.sending;
  }
}

function timeoutsOf(routes: readonly StandInRoute[]): Map<string, number> {
  return new Map(
    routes.map(({ name, timeoutSeconds }) => [name, (timeoutSeconds ?? USUAL_TIMEOUT_S) * MS_PER_SECOND]),
  );
}
