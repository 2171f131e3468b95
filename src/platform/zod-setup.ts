/**
 * Sets up the small form of the library that checks the platform's texts; the usual form is a fifth of a start's work. Schemas are
 * not compiled to code at run time: a start has few texts to check.
 * @module
 */

import { config } from 'zod/mini';
import en from 'zod/v4/locales/en.js';

config({ ...en(), jitless: true });
