/**
 * Configures zod/mini, which loads faster than zod. Schemas are not JIT-compiled: too few texts are parsed at start-up to pay for it.
 * @module
 */

import { config } from 'zod/mini';
import en from 'zod/v4/locales/en.js';

config({ ...en(), jitless: true });
